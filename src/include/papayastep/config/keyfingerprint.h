#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <cstring>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>

namespace papayastep::config {

/// The SHA-256 of a caller's key, which the configuration and the hops between nodes contain instead of the key. It
/// takes 32 bytes without heap memory, because a large configuration has one or more for each of 120,000 workspaces.
class KeyFingerprint
{
public:
    static constexpr std::size_t byteCount = 32;
    using Bytes = std::array<std::uint8_t, byteCount>;

    KeyFingerprint() = default;
    explicit KeyFingerprint(const Bytes &bytes)
        : m_bytes(bytes)
    {
    }

    /// Parses 64 lower-case hexadecimal digits, with or without the prefix `sha256:` that the files use.
    /// Throws Error(ConfigSchema) for any other text.
    static KeyFingerprint parse(std::string_view text);

    /// Returns 64 lower-case hexadecimal digits, without the prefix `sha256:`.
    std::string toString() const;

    const Bytes &bytes() const
    {
        return m_bytes;
    }

    /// Returns the first eight bytes as a number. It is evenly distributed and thus serves as hash and as sort key.
    std::uint64_t prefix() const
    {
        std::uint64_t value = 0;
        std::memcpy(&value, m_bytes.data(), sizeof value);
        return value;
    }

    auto operator<=>(const KeyFingerprint &) const = default;

    /// The fingerprint is serialized as the hexadecimal text, so that a log of messages can be compared with the files.
    template<typename Packer>
    void msgpack_pack(Packer &packer) const
    {
        packer.pack(toString());
    }
    template<typename Object>
    void msgpack_unpack(const Object &object)
    {
        std::string text;
        object.convert(text);
        *this = parse(text);
    }

private:
    Bytes m_bytes{};
};

std::ostream &operator<<(std::ostream &stream, const KeyFingerprint &fingerprint);

}

template<>
struct std::hash<papayastep::config::KeyFingerprint>
{
    std::size_t operator()(const papayastep::config::KeyFingerprint &fingerprint) const noexcept
    {
        return static_cast<std::size_t>(fingerprint.prefix());
    }
};
