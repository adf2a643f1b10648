#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace papayastep::ctl {

/// Prints rows of text with aligned columns. The first row is the heading.
class Table
{
public:
    explicit Table(std::vector<std::string> heading);

    void addRow(std::vector<std::string> cells);
    void print(std::ostream &out) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

}
