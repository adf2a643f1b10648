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

/// Keyed hash over parts that are each preceded by their length.
class TagHash
{
public:
    explicit TagHash(const std::string &key)
    {
        crypto_generichash_init(&m_state, bytesOf(key), key.size(), tagBytes);
    }

    void addPart(std::initializer_list<std::string_view> pieces)
    {
        std::uint64_t size = 0;
        for (const std::string_view piece : pieces) {
            size += piece.size();
        }
        crypto_generichash_update(&m_state, reinterpret_cast<const unsigned char *>(&size), sizeof(size));
        for (const std::string_view piece : pieces) {
            crypto_generichash_update(&m_state, bytesOf(piece), piece.size());
        }
    }

    Tag finish()
    {
        Tag tag{};
        crypto_generichash_final(&m_state, tag.data(), tag.size());
        return tag;
    }

private:
    crypto_generichash_state m_state{};
};

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
    TagHash hash(key);
    for (const std::string_view part : parts) {
        hash.addPart({part});
    }
    return hash.finish();
}

Tag tagOfPieces(const std::string &key, std::string_view first, std::initializer_list<std::string_view> second)
{
    TagHash hash(key);
    hash.addPart({first});
    hash.addPart(second);
    return hash.finish();
}

bool sameTag(const Tag &tag, std::string_view bytes)
{
    return bytes.size() == tag.size() && sodium_memcmp(tag.data(), bytes.data(), tag.size()) == 0;
}

}
