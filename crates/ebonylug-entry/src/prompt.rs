use serde::Deserialize;
use serde_json::value::RawValue;
use smallvec::SmallVec;

use ebonylug_core::{Fingerprint, PromptParts, Tokens};

/// Average number of bytes of text per token, over common tokenizers.
const BYTES_PER_TOKEN: usize = 4;
/// Size of a prefix block of the prompt, about 64 tokens.
const BLOCK_BYTES: usize = 256;
/// Maximum number of prefix blocks per prompt.
const MAX_BLOCKS: usize = 32;
/// Maximum number of parts per prompt that may be found to crash targets.
const MAX_PARTS: usize = 16;
/// Assumed limit on output tokens if the caller sets none.
const DEFAULT_MAX_OUTPUT: u64 = 1_024;

/// Hashes of the leading blocks of a prompt. Each hash covers all text up to the end of its block.
pub type Prefix = SmallVec<[u64; 8]>;

/// The fields of a chat completion that the entry uses for routing.
#[derive(Clone, Debug, PartialEq)]
pub struct Prompt {
    /// The model requested by the caller.
    pub model: Box<str>,
    /// Whether the caller requests a streamed response.
    pub stream: bool,
    /// The estimated number of prompt tokens.
    pub tokens: Tokens,
    /// The limit on output tokens.
    pub max_output: Tokens,
    /// Hashes for prefix affinity.
    pub prefix: Prefix,
    /// Hashes of the messages before the last one, which other requests may share.
    pub parts: PromptParts,
}

#[derive(Deserialize)]
struct CompletionRequest<'a> {
    model: Box<str>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(borrow)]
    messages: &'a RawValue,
}

impl Prompt {
    /// Parses the body of a chat completion. Unknown fields are ignored, as they concern only the
    /// target.
    ///
    /// # Errors
    ///
    /// Fails if the body is not valid JSON, or if `model` or `messages` is missing.
    pub fn parse(body: &[u8]) -> serde_json::Result<Self> {
        let body: CompletionRequest = serde_json::from_slice(body)?;
        let text = body.messages.get().as_bytes();
        let limit = body.max_completion_tokens.or(body.max_tokens);
        Ok(Prompt {
            model: body.model,
            stream: body.stream,
            tokens: Tokens((text.len() / BYTES_PER_TOKEN).max(1) as u64),
            max_output: Tokens(limit.unwrap_or(DEFAULT_MAX_OUTPUT)),
            prefix: prefix_hashes(text),
            parts: part_hashes(body.messages),
        })
    }
}

/// Returns the hashes of all messages but the last one, or none if the messages are not a list.
fn part_hashes(messages: &RawValue) -> PromptParts {
    let Ok(mut list) = serde_json::from_str::<Vec<&RawValue>>(messages.get()) else {
        return PromptParts::new();
    };
    list.pop();
    let parts = list.into_iter().take(MAX_PARTS);
    parts
        .map(|message| Fingerprint::of(message.get().as_bytes()))
        .collect()
}

fn prefix_hashes(text: &[u8]) -> Prefix {
    let mut hasher = blake3::Hasher::new();
    let blocks = text.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    blocks
        .map(|block| {
            hasher.update(block);
            let hash = hasher.finalize();
            let head: [u8; 8] = hash.as_bytes()[..8].try_into().expect("hash has 32 bytes");
            u64::from_le_bytes(head)
        })
        .collect()
}
