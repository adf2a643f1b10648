#pragma once

#include "papayastep/wire/message.h"

namespace papayastep::limits {

/// Whether `payload` is a `Message`, which is then in `message`. A malformed one of a peer is counted by whoever asks,
/// and is no reason to stop.
template<typename Message>
bool decodeInto(Message &message, std::string_view payload)
{
    try {
        message = wire::decode<Message>(payload);
        return true;
    } catch (const base::Error &) {
        return false;
    }
}

}
