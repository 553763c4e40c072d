//! Measurements of the product against a naive policy in virtual time.

fn main() {}
