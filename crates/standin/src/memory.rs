//! Memory of an engine and the orders that change it.
