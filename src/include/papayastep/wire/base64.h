#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace papayastep::wire {

enum class Base64 {
    Standard, ///< The standard alphabet, with padding.
    UrlSafe, ///< The URL-safe alphabet without padding, for headers.
};

std::string toBase64(std::string_view bytes, Base64 form);

/// Returns nothing unless `text` is base64 of that form from its first to its last character.
std::optional<std::string> fromBase64(std::string_view text, Base64 form);

}
