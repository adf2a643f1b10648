#include "papayastep/base/resultcode.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

using namespace papayastep::base;

namespace {

struct ErrorsPage
{
    std::string page;

    ErrorsPage()
    {
        std::ifstream file(PAPAYASTEP_SOURCE_DIR "/docs/ERRORS.md");
        std::ostringstream text;
        text << file.rdbuf();
        page = text.str();
    }

    std::size_t rows() const
    {
        std::size_t count = 0;
        for (std::size_t at = page.find("\n| "); at != std::string::npos; at = page.find("\n| ", at + 1)) {
            count += std::isdigit(static_cast<unsigned char>(page[at + 3])) != 0 ? 1 : 0;
        }
        return count;
    }
};

const std::vector<ResultCode> failures{
#define PAPAYASTEP_TEST_CODE(number, name, text) ResultCode::name,
    PAPAYASTEP_RESULT_CODES(PAPAYASTEP_TEST_CODE)
#undef PAPAYASTEP_TEST_CODE
};

}

// Guards against a code that is added without its row on the page, so that an operator finds nothing about the number
// of an error.
BOOST_FIXTURE_TEST_CASE(errorsPage_besideTheCode_hasARowForEachCode, ErrorsPage)
{
    for (const ResultCode code : failures) {
        if (code == ResultCode::Ok) {
            continue;
        }
        const std::string row = "| " + std::to_string(number(code)) + " | " + std::string(name(code)) + " | "
            + std::string(text(code)) + " |";
        BOOST_TEST((page.find(row) != std::string::npos), "missing row: " << row);
    }
    BOOST_TEST(rows() == failures.size() - 1);
}
