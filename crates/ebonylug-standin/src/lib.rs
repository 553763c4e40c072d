//! Small fakes of engines, plain services and the platform, for tests and the demo.
