#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/net/httpmessage.h"
#include "papayastep/wire/hop.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <string>

namespace papayastep::node {

/// The part of an answer's body that has not been buffered. Destroying it before its end aborts the transfer.
class AnswerBody
{
public:
    virtual ~AnswerBody() = default;

    /// Returns the next part. It is empty at the end or after the transfer was aborted.
    virtual net::Awaitable<std::string> readPart() = 0;

    /// Whether the body was received completely.
    virtual bool complete() const = 0;

    /// The deadline of the attempt, after which the transfer is aborted.
    virtual base::TimePoint deadline() const = 0;

    /// Aborts the transfer. A read in progress returns an empty part.
    virtual void abort() = 0;
};

/// The result of an attempt, in the same form for a server of this VM and for a server behind a hop.
struct ServedAnswer
{
    wire::HopReply reply;
    net::ResponseHead head; ///< Head of the backend server's answer, if reply.outcome is Answered.
    std::string body;
    std::unique_ptr<AnswerBody> remainingBody; ///< Null if `body` is complete.

    wire::HopOutcome outcome() const
    {
        return static_cast<wire::HopOutcome>(reply.outcome);
    }

    /// Size of the whole body as far as it is known: that of the buffered part if the head does not state it.
    std::size_t bodyBytes() const
    {
        std::size_t length = 0;
        const auto field = net::view(head[net::http::field::content_length]);
        std::from_chars(field.data(), field.data() + field.size(), length);
        return std::max(length, body.size());
    }
};

/// Number of bytes of an answer that are buffered before the first byte is sent to the caller, so that a truncated
/// answer can still be retried.
constexpr std::size_t answerBufferBytes = 256 * 1024;
/// Number of bytes that are buffered for routes that stream.
constexpr std::size_t streamAnswerBufferBytes = 16 * 1024;

}
