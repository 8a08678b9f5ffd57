//! Prints the slopes of the pure parts for `docs/CAPACITY.md`.

fn main() {
    println!("{}", standins::load::slopes::slopes());
}
