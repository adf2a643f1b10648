#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace papayastep::wire {

enum class Base64 {
    Standard, ///< With padding.
    UrlSafe, ///< For headers: without padding.
};

std::string toBase64(std::string_view bytes, Base64 form);

/// Nothing for a text that is not base64 of that form from its first to its last character.
std::optional<std::string> fromBase64(std::string_view text, Base64 form);

}
