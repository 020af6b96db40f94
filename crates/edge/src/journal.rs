//! Log lines: one line of key=value pairs for each event.

/// Logs an event under the `edge` target. Values are formatted with `Display`; the names of
/// the keys are written as they stand in the macro call.
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
