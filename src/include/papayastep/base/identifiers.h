#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

/// Identifiers, each kind with its own type, so that a zone can't be passed where a VM is expected.
namespace papayastep::base {

/// A name chosen by an operator or by the platform. `Tag` only distinguishes the kinds.
template<typename Tag>
class Identifier
{
public:
    Identifier() = default;
    explicit Identifier(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string &value() const
    {
        return m_value;
    }
    bool empty() const
    {
        return m_value.empty();
    }

    auto operator<=>(const Identifier &) const = default;

    /// For the message codec (MessagePack), which encodes an identifier as a plain string.
    template<typename Packer>
    void msgpack_pack(Packer &packer) const
    {
        packer.pack(m_value);
    }
    template<typename Object>
    void msgpack_unpack(Object object)
    {
        std::string text = object;
        m_value = std::move(text);
    }

private:
    std::string m_value;
};

template<typename Tag>
std::ostream &operator<<(std::ostream &stream, const Identifier<Tag> &id)
{
    return stream << id.value();
}

using VmId = Identifier<struct VmTag>;
using ZoneId = Identifier<struct ZoneTag>;
using WorkspaceId = Identifier<struct WorkspaceTag>;
using ServiceId = Identifier<struct ServiceTag>;
using RouteId = Identifier<struct RouteTag>;
using BackendServerId = Identifier<struct BackendServerTag>;

/// A number chosen at random at each start of a node, which distinguishes a restarted node from its previous run.
using Incarnation = std::uint64_t;

/// The number of a published configuration. It increases with each publication; 0 means none.
using Revision = std::uint64_t;

/// 128 random bits that identify one request of a caller in the whole fleet.
struct RequestId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const RequestId &) const = default;
};

/// Formats `id` as 32 lower-case hexadecimal digits.
std::string toString(const RequestId &id);

/// The inverse of toString(). Throws Error(HopMalformed) for anything else.
RequestId parseRequestId(const std::string &digits);

std::ostream &operator<<(std::ostream &stream, const RequestId &id);

}

template<typename Tag>
struct std::hash<papayastep::base::Identifier<Tag>>
{
    std::size_t operator()(const papayastep::base::Identifier<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};

template<>
struct std::hash<papayastep::base::RequestId>
{
    std::size_t operator()(const papayastep::base::RequestId &id) const noexcept
    {
        return static_cast<std::size_t>(id.high ^ id.low);
    }
};
