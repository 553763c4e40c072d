use ebonylug_core::Fingerprint;
use serde::{Deserialize, Serialize};

/// Output tokens of a request that sets no limit.
const DEFAULT_OUTPUT: u64 = 16;

/// The texts of output tokens.
const WORDS: [&str; 32] = [
    "sisal ", "coir ", "hemp ", "twine ", "hawser ", "strand ", "splice ", "bale ", "spool ",
    "mill ", "shift ", "loom ", "quote ", "metre ", "tonne ", "dock ", "kettle ", "scale ",
    "boiler ", "filter ", "lime ", "rinse ", "valve ", "gauge ", "north ", "river ", "harbour ",
    "ledger ", "invoice ", "weight ", "supply ", "order ",
];

/// A message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: Box<str>,
    /// The text.
    pub content: Box<str>,
}

/// The body of `POST /v1/chat/completions`, as far as the fake reads it.
///
/// ```
/// use ebonylug_standin::ChatRequest;
///
/// let request = ChatRequest::user("quote 40 bales of sisal", 3);
/// let whole = request.output_from(0);
/// // A resumed stream continues where the first one stopped.
/// assert!(whole.ends_with(&request.output_from(2)));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The model; the first loaded one if missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Box<str>>,
    /// The chat so far.
    pub messages: Vec<Message>,
    /// The exact number of output tokens.
    #[serde(default = "default_output")]
    pub max_tokens: u64,
    /// Whether the answer arrives as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

impl ChatRequest {
    /// Creates a request with one user message.
    #[must_use]
    pub fn user(prompt: &str, max_tokens: u64) -> Self {
        ChatRequest {
            model: None,
            messages: vec![Message {
                role: "user".into(),
                content: prompt.into(),
            }],
            max_tokens,
            stream: false,
        }
    }

    /// Asks for server-sent events.
    #[must_use]
    pub fn streamed(mut self) -> Self {
        self.stream = true;
        self
    }

    /// Returns the text that every engine answers from output token `offset` on.
    #[must_use]
    pub fn output_from(&self, offset: u64) -> String {
        let seed = self.fingerprint();
        (offset..self.max_tokens).map(|n| token(seed, n)).collect()
    }

    /// Hashes the prompt. The answer depends on nothing else, so that any engine and version
    /// can resume it.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(self.prompt().as_bytes())
    }

    /// Returns the whole prompt. Its words are its tokens.
    pub(super) fn prompt(&self) -> String {
        let lines = self.messages.iter();
        let lines = lines.map(|message| format!("{}: {}", message.role, message.content));
        lines.collect::<Vec<_>>().join("\n")
    }
}

/// Returns output token `number` of the answer to a prompt.
pub(super) fn token(seed: Fingerprint, number: u64) -> &'static str {
    // The finaliser of SplitMix64 spreads neighbouring numbers over all words.
    let mut mix = seed
        .0
        .wrapping_add(number.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    mix = (mix ^ (mix >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mix = (mix ^ (mix >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    WORDS[((mix ^ (mix >> 31)) % WORDS.len() as u64) as usize]
}

fn default_output() -> u64 {
    DEFAULT_OUTPUT
}
