//! Decodes and encodes server-sent events, as defined by the HTML standard (section 9.2).

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Its type; empty if none was given.
    pub name: String,
    /// Its data; lines are joined by LF.
    pub data: String,
}

/// Decodes events from bytes that are split anywhere.
#[derive(Debug)]
pub struct Decoder {
    /// The incomplete line.
    line: Vec<u8>,
    /// The incomplete event.
    event: Event,
    has_data: bool,
    /// The last byte was a CR, so that an LF which follows ends no further line.
    after_cr: bool,
    /// No line has ended yet: the first one may begin with a byte order mark.
    is_first_line: bool,
    /// Bytes of the incomplete event, without line ends.
    event_bytes: usize,
    max_event_bytes: usize,
}

/// An event exceeded the limit of its decoder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

impl Decoder {
    /// Creates a decoder that accepts events of at most `max_event_bytes` bytes.
    pub fn new(max_event_bytes: usize) -> Self {
        let event = Event::default();
        Decoder {
            line: Vec::new(),
            event,
            has_data: false,
            after_cr: false,
            is_first_line: true,
            event_bytes: 0,
            max_event_bytes,
        }
    }

    /// Decodes received bytes and appends the events that they complete to `out`.
    ///
    /// # Errors
    /// An event is longer than the limit.
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<Event>) -> Result<(), TooLong> {
        for &b in bytes {
            let after_cr = std::mem::take(&mut self.after_cr);
            match b {
                b'\n' if after_cr => {}
                b'\n' | b'\r' => {
                    self.after_cr = b == b'\r';
                    self.end_line(out);
                }
                _ => {
                    self.event_bytes += 1;
                    if self.event_bytes > self.max_event_bytes {
                        return Err(TooLong);
                    }
                    self.line.push(b);
                }
            }
        }
        Ok(())
    }

    /// Whether an event is incomplete: a stream that ends here was truncated.
    pub fn is_inside_event(&self) -> bool {
        self.event_bytes > 0
    }

    /// Handles a complete line. An empty one ends the event, which counts only if it has data.
    fn end_line(&mut self, out: &mut Vec<Event>) {
        let raw = std::mem::take(&mut self.line);
        let text = String::from_utf8_lossy(&raw);
        let text = if self.is_first_line { text.trim_start_matches('\u{feff}') } else { &text };
        self.is_first_line = false;
        if text.is_empty() {
            let event = std::mem::take(&mut self.event);
            self.event_bytes = 0;
            if std::mem::take(&mut self.has_data) {
                out.push(event);
            }
            return;
        }
        let (field, value) = text.split_once(':').unwrap_or((text, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => self.event.name = value.to_owned(),
            "data" => {
                if std::mem::replace(&mut self.has_data, true) {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            _ => {}
        }
    }
}

/// Writes one event; `name` may be empty. `data` must not contain line ends; compact JSON text has none.
pub fn write(name: &str, data: &str, out: &mut Vec<u8>) {
    if !name.is_empty() {
        out.extend_from_slice(b"event: ");
        out.extend_from_slice(name.as_bytes());
        out.push(b'\n');
    }
    out.extend_from_slice(b"data: ");
    out.extend_from_slice(data.as_bytes());
    out.extend_from_slice(b"\n\n");
}
