//! Prints the scaling measurements of single components for `docs/CAPACITY.md`.

fn main() {
    println!("{}", standins::load::slopes::render());
}
