// papayastep: the operator's command.

#include "command.h"

#include <iostream>

int main(int argc, char **argv)
{
    papayastep::ctl::Streams streams{std::cin, std::cout, std::cerr};
    return papayastep::ctl::runProgram({argv + 1, argv + argc}, streams);
}
