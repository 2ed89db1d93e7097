#include "commandtable.h"

int main(int argc, char** argv)
{
    int exitCode = Control::ExitSuccess;
    const auto options = Control::parseOptions(argc, argv, exitCode);
    return options ? Control::runCommand(*options) : exitCode;
}
