use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use ebonylug_core::Fingerprint;
use futures_util::Stream;
use futures_util::stream;
use serde_json::{Value, json};
use tokio::sync::OwnedSemaphorePermit;

use super::chat::{ChatRequest, output_token};
use super::settings::EngineSettings;
use super::state::{Admitted, InFlight, State};
use crate::net::Conn;
use crate::server::Aborted;

/// A running request, which produces its output token by token.
pub(super) struct Generation {
    in_flight: InFlight,
    conn: Arc<Conn>,
    admitted: Admitted,
    /// Held from the start of the prefill to the end of the request.
    slot: Option<OwnedSemaphorePermit>,
    seed: Fingerprint,
    /// The output token at which this request starts.
    offset: u64,
    /// The output token to produce next.
    next: u64,
    /// The number of output tokens, including those before `offset`.
    end: u64,
    /// Number of prompt tokens, without those of a resumed output.
    prompt_tokens: u64,
    cached_tokens: u64,
    /// When the prefill ends or the next token is produced.
    next_at: Instant,
}

impl Generation {
    pub(super) fn new(
        state: Arc<State>,
        conn: Arc<Conn>,
        admitted: Admitted,
        request: &ChatRequest,
        offset: u64,
    ) -> Self {
        let seed = request.fingerprint();
        let text = request.prompt();
        let mut tokens: Vec<Box<str>> = text.split_whitespace().map(Into::into).collect();
        let prompt_tokens = tokens.len() as u64;
        tokens.extend((0..offset).map(|number| output_token(seed, number).trim_end().into()));
        Generation {
            in_flight: InFlight::enqueue(state, admitted.incarnation.clone(), tokens),
            conn,
            admitted,
            slot: None,
            seed,
            offset,
            next: offset,
            end: request.max_tokens,
            prompt_tokens,
            cached_tokens: 0,
            next_at: Instant::now(),
        }
    }

    /// Runs to the end and returns the output.
    pub(super) async fn collect_text(&mut self) -> Result<String, Aborted> {
        let mut text = String::new();
        while let Some(word) = self.next_token().await? {
            text.push_str(word);
        }
        Ok(text)
    }

    /// Returns the output as a stream of server-sent events.
    pub(super) fn into_events(self) -> impl Stream<Item = Result<Bytes, Aborted>> {
        stream::unfold(Some(self), |generation| async {
            let mut generation = generation?;
            match generation.next_token().await {
                Ok(Some(word)) => {
                    let chunk = generation.chunk(word);
                    Some((Ok(chunk), Some(generation)))
                }
                Ok(None) => Some((Ok(generation.final_chunk()), None)),
                Err(error) => Some((Err(error), None)),
            }
        })
    }

    /// Returns the JSON body of an unstreamed response.
    pub(super) fn completion_body(&self, text: &str) -> Value {
        json!({
            "id": self.id(),
            "object": "chat.completion",
            "created": 0,
            "model": self.admitted.model.id,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "length",
            }],
            "usage": self.usage(),
        })
    }

    /// Produces the next token, or returns `None` at the end.
    async fn next_token(&mut self) -> Result<Option<&'static str>, Aborted> {
        if self.slot.is_none() {
            self.prefill().await?;
        }
        if self.next >= self.end {
            self.unless_aborted(std::future::ready(())).await?;
            self.in_flight.finish();
            return Ok(None);
        }
        if self.admitted.cut && self.next >= self.offset + (self.end - self.offset) / 2 {
            self.in_flight.fail();
            return Err(Aborted);
        }
        let time = self.settings().token_time(self.in_flight.running());
        self.next_at += time.mul_f64(self.admitted.slowdown);
        self.unless_aborted(tokio::time::sleep_until(self.next_at.into()))
            .await?;
        let word = output_token(self.seed, self.next);
        self.next += 1;
        self.in_flight.tokens.push(word.trim_end().into());
        Ok(Some(word))
    }

    /// Waits for a slot and simulates the prefill.
    async fn prefill(&mut self) -> Result<(), Aborted> {
        let slots = self.admitted.incarnation.slots.clone();
        let slot = self.unless_aborted(slots.acquire_owned()).await?;
        self.slot = Some(slot.map_err(|_| Aborted)?);
        let total = self.in_flight.tokens.len() as u64;
        let (cached, sharing) = self.in_flight.begin_prefill();
        self.cached_tokens = cached.min(self.prompt_tokens);
        let time = self.settings().prefill_time(total - cached, sharing);
        self.next_at = Instant::now() + time.mul_f64(self.admitted.slowdown);
        self.unless_aborted(tokio::time::sleep_until(self.next_at.into()))
            .await?;
        if self.admitted.poison {
            self.in_flight.state.crash(None);
            return Err(Aborted);
        }
        self.in_flight.begin_decode();
        Ok(())
    }

    /// Waits for `work`, and fails if the engine crashes or the client disconnects first. On a
    /// stalled connection, the wait ends only in one of these two ways.
    async fn unless_aborted<T>(&self, work: impl Future<Output = T>) -> Result<T, Aborted> {
        let work = async {
            let result = work.await;
            if self.conn.is_stalled() {
                std::future::pending::<()>().await;
            }
            result
        };
        tokio::select! {
            biased;
            () = self.admitted.incarnation.ended.cancelled() => Err(Aborted),
            () = self.conn.closed.cancelled() => Err(Aborted),
            result = work => Ok(result),
        }
    }

    fn settings(&self) -> &EngineSettings {
        &self.in_flight.state.settings
    }

    fn chunk(&self, word: &str) -> Bytes {
        let delta = match self.next == self.offset + 1 {
            true => json!({ "role": "assistant", "content": word }),
            false => json!({ "content": word }),
        };
        let mut chunk = self.event(&delta, None);
        chunk.push_str("\n\n");
        chunk.into()
    }

    fn final_chunk(&self) -> Bytes {
        let mut chunk = self.event(&json!({}), Some(self.usage()));
        chunk.push_str("\n\ndata: [DONE]\n\n");
        chunk.into()
    }

    fn event(&self, delta: &Value, usage: Option<Value>) -> String {
        let finish = usage.is_some().then_some("length");
        let mut event = json!({
            "id": self.id(),
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.admitted.model.id,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
        });
        if let Some(usage) = usage {
            event["usage"] = usage;
        }
        format!("data: {event}")
    }

    fn id(&self) -> String {
        format!("chatcmpl-{}", self.seed)
    }

    fn usage(&self) -> Value {
        let output = self.next - self.offset;
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": output,
            "total_tokens": self.prompt_tokens + output,
            "prompt_tokens_details": { "cached_tokens": self.cached_tokens },
        })
    }
}
