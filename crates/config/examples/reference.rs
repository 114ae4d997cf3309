//! Prints the reference tables for `docs/CONFIGURATION.md`.
#![allow(clippy::print_stdout, reason = "the example prints its result")]

fn main() {
    print!("{}", config::reference_page());
}
