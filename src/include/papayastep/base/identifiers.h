#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

/// Names of things, each with a type of its own, so that a zone can't be passed where a VM is meant.
namespace papayastep::base {

/// A name chosen by an operator or by the platform. `Tag` only tells the kinds apart.
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

    /// For the codec of messages (MessagePack): travels as a plain string.
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

/// Chosen at random at each start of a node: tells a restarted node from its old self.
using Incarnation = std::uint64_t;

/// The number of a published configuration. Rises with each publication, 0 means none.
using Revision = std::uint64_t;

/// 128 random bits that name one request of a caller, fleet-wide.
struct RequestId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const RequestId &) const = default;
};

/// 32 lower-case hexadecimal digits.
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
