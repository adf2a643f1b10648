#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace papayastep::net {

/// The body of a request. Copies share the bytes, which may be most of what a small VM has of memory.
class SharedBody
{
public:
    SharedBody() = default;
    explicit SharedBody(std::string bytes)
        : m_bytes(std::make_shared<const std::string>(std::move(bytes)))
    {
    }

    std::string_view view() const
    {
        return m_bytes ? std::string_view(*m_bytes) : std::string_view();
    }
    std::size_t size() const
    {
        return view().size();
    }
    bool empty() const
    {
        return view().empty();
    }

    bool operator==(const SharedBody &other) const
    {
        return view() == other.view();
    }

private:
    std::shared_ptr<const std::string> m_bytes;
};

}
