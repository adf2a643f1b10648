#pragma once

#include "papayastep/base/resultcode.h"

#include <stdexcept>
#include <string>

namespace papayastep::base {

/// The position of an error in the files of the operator. Both parts may be empty.
struct ErrorLocation
{
    std::string file; ///< Name of the file, without its folder.
    std::string pointer; ///< JSON pointer (RFC 6901) into that file.

    auto operator<=>(const ErrorLocation &) const = default;
};

/// The exception of the whole system: a result code, a sentence that describes the error, and its position in a file if
/// there is one.
class Error : public std::runtime_error
{
public:
    Error(ResultCode code, const std::string &detail, ErrorLocation location = {});

    ResultCode code() const;
    const std::string &detail() const;
    const ErrorLocation &location() const;

private:
    ResultCode m_code;
    std::string m_detail;
    ErrorLocation m_location;
};

/// Formats an error as one line, `error NUMBER (Name) in FILE at POINTER: text: detail`, without the empty parts.
std::string describe(ResultCode code, const std::string &detail, const ErrorLocation &location);

}
