#include "papayastep/wire/base64.h"

#include <sodium.h>

namespace papayastep::wire {

namespace {

int variantOf(Base64 form)
{
    return form == Base64::Standard ? sodium_base64_VARIANT_ORIGINAL : sodium_base64_VARIANT_URLSAFE_NO_PADDING;
}

}

std::string toBase64(std::string_view bytes, Base64 form)
{
    const int variant = variantOf(form);
    std::string text(sodium_base64_encoded_len(bytes.size(), variant), '\0');
    sodium_bin2base64(
        text.data(), text.size(), reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), variant);
    text.pop_back();
    return text;
}

std::optional<std::string> fromBase64(std::string_view text, Base64 form)
{
    std::string bytes(text.size(), '\0');
    std::size_t size = 0;
    const char *end = nullptr;
    const int result = sodium_base642bin(reinterpret_cast<unsigned char *>(bytes.data()),
                                         bytes.size(),
                                         text.data(),
                                         text.size(),
                                         nullptr,
                                         &size,
                                         &end,
                                         variantOf(form));
    if (result != 0 || end != text.data() + text.size()) {
        return std::nullopt;
    }
    bytes.resize(size);
    return bytes;
}

}
