//! Prints the reference of every option, to be put into `docs/CONFIGURATION.md`.
#![allow(clippy::print_stdout, reason = "printing is what it is for")]

fn main() {
    print!("{}", config::reference_page());
}
