#pragma once

#include "papayastep/net/httpmessage.h"
#include "papayastep/wire/hop.h"

#include <memory>
#include <string>

namespace papayastep::node {

/// The part of an answer's body that was not held. Destroying it before the end breaks the answer off.
class AnswerBody
{
public:
    virtual ~AnswerBody() = default;

    /// The next part; empty at the end or when it broke off.
    virtual net::Awaitable<std::string> readPart() = 0;

    /// Whether the end was reached in order.
    virtual bool complete() const = 0;
};

/// What an attempt brought, the same for a server of this VM and for one behind a hop.
struct ServedAnswer
{
    wire::HopReply reply;
    net::ResponseHead head; ///< Of the backend server, where reply.outcome is Answered.
    std::string body;
    std::unique_ptr<AnswerBody> remainingBody; ///< Null: `body` is all.

    wire::HopOutcome outcome() const
    {
        return static_cast<wire::HopOutcome>(reply.outcome);
    }
};

/// How much of an answer is held before its first byte goes to the caller, so that a cut one can still be retried.
constexpr std::size_t answerBufferBytes = 256 * 1024;
/// The same for routes that stream.
constexpr std::size_t streamAnswerBufferBytes = 16 * 1024;

}
