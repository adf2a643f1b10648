#pragma once

#include "papayastep/base/error.h"

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace papayastep::config {

/// Collects errors up to a limit, so that an operator sees all of them in one run. Further errors are dropped.
class ErrorList
{
public:
    explicit ErrorList(std::size_t limit)
        : m_limit(limit)
    {
    }

    void add(base::ResultCode code, const std::string &detail, base::ErrorLocation location = {})
    {
        if (m_errors.size() < m_limit) {
            m_errors.emplace_back(code, detail, std::move(location));
        }
    }

    bool empty() const
    {
        return m_errors.empty();
    }
    std::size_t size() const
    {
        return m_errors.size();
    }
    std::vector<base::Error> take()
    {
        return std::move(m_errors);
    }

private:
    std::size_t m_limit;
    std::vector<base::Error> m_errors;
};

}
