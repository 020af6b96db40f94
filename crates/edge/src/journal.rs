//! Log lines: one line of key=value pairs for each event.

/// Logs an event under the `edge` target; values are written as they display.
macro_rules! journal {
    ($level:ident, $event:literal $(, $key:ident = $value:expr)* $(,)?) => {
        log::$level!(
            target: "edge",
            concat!("event=", $event $(, " ", stringify!($key), "={}")*)
            $(, $value)*
        )
    };
}

pub(crate) use journal;
