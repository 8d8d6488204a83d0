//! Prints the page of all declared settings.

use declared_settings::prelude::*;

fn main() {
    print!("{}", settings_page());
}
