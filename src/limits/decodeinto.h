#pragma once

#include "papayastep/wire/message.h"

namespace papayastep::limits {

/// Decodes `payload` into `message`. Returns false if it is malformed: the caller counts malformed messages of peers
/// and continues.
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
