// Entry point of lycheectl.
#include "ctl/Commands.h"

#include <iostream>

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + std::min(argc, 1), argv + argc);
    auto options = lychee::parseOptions(arguments);
    if (!options.ok()) {
        std::cerr << "lycheectl: " << options.status().message() << "; see lycheectl --help\n";
        return static_cast<int>(lychee::ExitCode::Usage);
    }
    return static_cast<int>(lychee::Commands(std::move(*options)).run());
}
