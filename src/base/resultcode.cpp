#include "papayastep/base/resultcode.h"

namespace papayastep::base {

std::string_view name(ResultCode code)
{
    switch (code) {
#define PAPAYASTEP_RESULT_CODE_NAME(number, name, text) \
    case ResultCode::name: \
        return #name;
        PAPAYASTEP_RESULT_CODES(PAPAYASTEP_RESULT_CODE_NAME)
#undef PAPAYASTEP_RESULT_CODE_NAME
    }
    return "Unknown";
}

std::string_view text(ResultCode code)
{
    switch (code) {
#define PAPAYASTEP_RESULT_CODE_TEXT(number, name, text) \
    case ResultCode::name: \
        return text;
        PAPAYASTEP_RESULT_CODES(PAPAYASTEP_RESULT_CODE_TEXT)
#undef PAPAYASTEP_RESULT_CODE_TEXT
    }
    return "an unknown result";
}

}
