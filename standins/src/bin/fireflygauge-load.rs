//! Sends open-loop load and reports results and latencies.

use clap::{CommandFactory, Parser, error::ErrorKind};
use eyre::Result;
use standins::load::{
    options::Options,
    plot,
    report::{self, Step},
    run::run,
};

fn main() -> Result<()> {
    let options = Options::parse();
    if let Err(e) = options.check() {
        Options::command()
            .error(ErrorKind::ValueValidation, e)
            .exit();
    }
    let steps = run(&options)?;
    if options.json {
        let reports: Vec<_> = steps.iter().map(Step::report).collect();
        println!("{}", serde_json::to_string_pretty(&reports)?);
    } else {
        print!("{}", report::render_text(&steps));
    }
    if let Some(path) = &options.plot {
        plot::write(path, &steps)?;
    }
    let wrong: u64 = steps.iter().map(Step::wrong).sum();
    eyre::ensure!(
        wrong == 0,
        "{wrong} responses were wrong: of another request, truncated or against the refusal contract"
    );
    Ok(())
}
