use ebonylug_core::Fingerprint;
use serde::{Deserialize, Serialize};

/// Number of output tokens of a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// The vocabulary of output tokens.
const VOCABULARY: [&str; 32] = [
    "sisal ", "coir ", "hemp ", "twine ", "hawser ", "strand ", "splice ", "bale ", "spool ",
    "mill ", "shift ", "loom ", "quote ", "metre ", "tonne ", "dock ", "kettle ", "scale ",
    "boiler ", "filter ", "lime ", "rinse ", "valve ", "gauge ", "north ", "river ", "harbour ",
    "ledger ", "invoice ", "weight ", "supply ", "order ",
];

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: Box<str>,
    /// The text of the message.
    pub content: Box<str>,
}

/// The fields of the body of `POST /v1/chat/completions` that the fake reads.
///
/// ```
/// use ebonylug_standin::ChatRequest;
///
/// let request = ChatRequest::user("quote 40 bales of sisal", 3);
/// let whole = request.output_from(0);
/// // A resumed stream continues at the given token.
/// assert!(whole.ends_with(&request.output_from(2)));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The name of the model. The first loaded model serves the request if it is missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Box<str>>,
    /// The messages, in order. Together they form the prompt.
    pub messages: Vec<Message>,
    /// The number of output tokens. The fake always produces exactly this many.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// Whether the response is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

impl ChatRequest {
    /// Creates an unstreamed request with one user message.
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

    /// Requests a response as server-sent events.
    #[must_use]
    pub fn streamed(mut self) -> Self {
        self.stream = true;
        self
    }

    /// Returns the output from token `offset` on, which is the same for every engine.
    #[must_use]
    pub fn output_from(&self, offset: u64) -> String {
        let seed = self.fingerprint();
        (offset..self.max_tokens)
            .map(|n| output_token(seed, n))
            .collect()
    }

    /// Hashes the prompt. The output depends on nothing else, so any engine with any version of
    /// the model can resume it.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(self.prompt().as_bytes())
    }

    /// Returns the prompt. Its tokens are its words, separated by whitespace.
    pub(super) fn prompt(&self) -> String {
        let parts = self.messages.iter();
        let parts = parts.map(|message| format!("{}: {}", message.role, message.content));
        parts.collect::<Vec<_>>().join("\n")
    }
}

/// Returns output token `number` for the prompt with the fingerprint `seed`.
pub(super) fn output_token(seed: Fingerprint, number: u64) -> &'static str {
    // The SplitMix64 finalizer distributes consecutive numbers over the whole vocabulary.
    let mut mix = seed
        .0
        .wrapping_add(number.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    mix = (mix ^ (mix >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mix = (mix ^ (mix >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    VOCABULARY[((mix ^ (mix >> 31)) % VOCABULARY.len() as u64) as usize]
}

fn default_max_tokens() -> u64 {
    DEFAULT_MAX_TOKENS
}
