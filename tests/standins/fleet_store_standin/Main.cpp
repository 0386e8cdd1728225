// Entry point of fleet_store_standin.
#include "tests/standins/fleet_store_standin/Store.h"

int main(int argc, char** argv)
{
    using namespace lychee::standin;
    parseFlags(argc, argv);
    Store store;
    return runStandin(store);
}
