//! Server-sent events, as the HTML standard has them (section 9.2), in and out.

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Its type; empty if none was given.
    pub name: String,
    /// Its data; lines are joined by LF.
    pub data: String,
}

/// Reads events from bytes in pieces of any size.
#[derive(Debug)]
pub struct Decoder {
    line: Vec<u8>,
    event: Event,
    has_data: bool,
    after_cr: bool,
    first: bool,
    held: usize,
    most: usize,
}

/// An event grew over the bound of its decoder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

impl Decoder {
    /// A decoder that takes events of at most `most` bytes.
    pub fn new(most: usize) -> Self {
        let event = Event::default();
        Decoder { line: Vec::new(), event, has_data: false, after_cr: false, first: true, held: 0, most }
    }

    /// Takes bytes and appends the events that they complete.
    ///
    /// # Errors
    /// An event is longer than the bound.
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
                    self.held += 1;
                    if self.held > self.most {
                        return Err(TooLong);
                    }
                    self.line.push(b);
                }
            }
        }
        Ok(())
    }

    /// Whether an event has been begun and not ended: a stream that stops here was cut.
    pub fn is_inside_event(&self) -> bool {
        self.held > 0
    }

    fn end_line(&mut self, out: &mut Vec<Event>) {
        let raw = std::mem::take(&mut self.line);
        let text = String::from_utf8_lossy(&raw);
        let text = if self.first { text.trim_start_matches('\u{feff}') } else { &text };
        self.first = false;
        if text.is_empty() {
            let event = std::mem::take(&mut self.event);
            self.held = 0;
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

/// Writes one event; `name` may be empty. `data` must hold no line ends, as JSON text does not.
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
