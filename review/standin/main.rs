//! Plays one case: `standin CASE RUN FOLDER`. RUN is the program of the deploy file, FOLDER takes
//! `record.txt`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//! With `TROUBLE=0` in the environment the disruption is left out.

mod base;
mod foreign;
mod forged;
mod lapse;
mod stop;
mod world;

use std::{env, process::exit};

fn main() {
    base::now();
    let args: Vec<String> = env::args().collect();
    let [_, case, run, folder] = &args[..] else {
        eprintln!("usage: standin CASE RUN FOLDER");
        exit(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let dir = env::temp_dir().join(format!("fireflygauge-review-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    let dir = dir.to_str().expect("a path").to_owned();
    base::record(format!("case {case}, trouble {trouble}"));
    let result = match case.as_str() {
        "foreign" => foreign::play(&dir, run, trouble),
        "forged" => forged::play(&dir, run, trouble),
        "lapse" => lapse::play(&dir, run, trouble),
        "stop" => stop::play(&dir, run, trouble),
        _ => Err(format!("no case {case}")),
    };
    let (text, code) = match result {
        Ok(Ok(text)) => (format!("HELD: {text}"), 0),
        Ok(Err(text)) => (format!("BROKEN: {text}"), 1),
        Err(text) => (format!("COULD NOT RUN: {text}"), 2),
    };
    base::record(text.clone());
    println!("{text}");
    base::write_record(&format!("{folder}/record.txt"));
    if env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    exit(code);
}
