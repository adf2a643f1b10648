// Entry point of `papayastep`, the command-line tool for operators.

#include "command.h"

#include <iostream>

int main(int argc, char **argv)
{
    papayastep::ctl::Streams streams{std::cin, std::cout, std::cerr};
    return papayastep::ctl::runProgram({argv + 1, argv + argc}, streams);
}
