#include "papayastep/base/error.h"

#include <utility>

namespace papayastep::base {

Error::Error(ResultCode code, const std::string &detail, ErrorLocation location)
    : std::runtime_error(describe(code, detail, location))
    , m_code(code)
    , m_detail(detail)
    , m_location(std::move(location))
{
}

ResultCode Error::code() const
{
    return m_code;
}

const std::string &Error::detail() const
{
    return m_detail;
}

const ErrorLocation &Error::location() const
{
    return m_location;
}

std::string describe(ResultCode code, const std::string &detail, const ErrorLocation &location)
{
    std::string line = "error " + std::to_string(number(code)) + " (" + std::string(name(code)) + ")";
    if (!location.file.empty()) {
        line += " in " + location.file;
    }
    if (!location.pointer.empty()) {
        line += " at " + location.pointer;
    }
    line += ": " + std::string(text(code));
    if (!detail.empty()) {
        line += ": " + detail;
    }
    return line;
}

}
