#include "papayastep/config/keyfingerprint.h"

#include "papayastep/base/error.h"
#include "papayastep/config/configuration.h"

#include <sodium.h>

#include <algorithm>

namespace papayastep::config {

namespace {

constexpr std::string_view algorithmPrefix = "sha256:";

bool isLowerHex(char digit)
{
    return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
}

}

KeyFingerprint KeyFingerprint::parse(std::string_view text)
{
    if (text.starts_with(algorithmPrefix)) {
        text.remove_prefix(algorithmPrefix.size());
    }
    // The text may be a key that was pasted instead of the fingerprint, so the error never contains it.
    if (text.size() != 2 * byteCount || !std::all_of(text.begin(), text.end(), isLowerHex)) {
        throw base::Error(base::ResultCode::ConfigSchema,
                          "a key fingerprint must be sha256: and 64 lower-case hexadecimal digits");
    }
    Bytes bytes{};
    sodium_hex2bin(bytes.data(), bytes.size(), text.data(), text.size(), nullptr, nullptr, nullptr);
    return KeyFingerprint(bytes);
}

std::string KeyFingerprint::toString() const
{
    std::string hex(2 * byteCount + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), m_bytes.data(), m_bytes.size());
    hex.pop_back();
    return hex;
}

std::ostream &operator<<(std::ostream &stream, const KeyFingerprint &fingerprint)
{
    return stream << fingerprint.toString();
}

KeyFingerprint fingerprintOf(const std::string &key)
{
    KeyFingerprint::Bytes digest{};
    crypto_hash_sha256(digest.data(), reinterpret_cast<const unsigned char *>(key.data()), key.size());
    return KeyFingerprint(digest);
}

}
