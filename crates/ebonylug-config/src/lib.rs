//! Publishing and applying configuration revisions.
