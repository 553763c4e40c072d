//! Resource types, their validation, and the configuration document.
