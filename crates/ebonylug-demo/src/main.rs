//! Both users' deployments in small, on loopback in one process.

fn main() {}
