#include "papayastep/wire/seal.h"

#include "papayastep/base/error.h"

#include <sodium.h>

#include <cstdint>

namespace papayastep::wire {

namespace {

constexpr std::size_t minSecretBytes = 16;

const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

}

std::string deriveKey(const std::string &secret, std::string_view purpose)
{
    if (sodium_init() < 0) {
        throw base::Error(base::ResultCode::Internal, "libsodium cannot be initialised");
    }
    if (secret.size() < minSecretBytes) {
        throw base::Error(base::ResultCode::SettingsSecretMissing, "the fleet secret has fewer than 16 bytes");
    }
    std::string master(crypto_generichash_KEYBYTES, '\0');
    auto *out = reinterpret_cast<unsigned char *>(master.data());
    crypto_generichash(out, master.size(), bytesOf(secret), secret.size(), nullptr, 0);
    std::string key(crypto_generichash_KEYBYTES, '\0');
    out = reinterpret_cast<unsigned char *>(key.data());
    crypto_generichash(out, key.size(), bytesOf(purpose), purpose.size(), bytesOf(master), master.size());
    return key;
}

Tag tagOf(const std::string &key, std::initializer_list<std::string_view> parts)
{
    crypto_generichash_state state;
    crypto_generichash_init(&state, bytesOf(key), key.size(), tagBytes);
    for (const std::string_view part : parts) {
        const std::uint64_t size = part.size();
        crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(&size), sizeof(size));
        crypto_generichash_update(&state, bytesOf(part), part.size());
    }
    Tag tag{};
    crypto_generichash_final(&state, tag.data(), tag.size());
    return tag;
}

bool sameTag(const Tag &tag, std::string_view bytes)
{
    return bytes.size() == tag.size() && sodium_memcmp(tag.data(), bytes.data(), tag.size()) == 0;
}

}
