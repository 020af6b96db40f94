//! Filled below.
