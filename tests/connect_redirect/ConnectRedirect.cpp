// A library that leads connections of a process to other ports of the loopback address. A test loads it into an
// instance of the daemon (LD_PRELOAD) to put a relay of its own on each of its ways, although all instances know a
// target by the same address. CONNECT_REDIRECTS names a file with lines `PORT OTHER_PORT`.
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <map>

#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace {

using PortMap = std::map<std::uint16_t, std::uint16_t>;

PortMap readPorts()
{
    PortMap ports;
    const char* path = std::getenv("CONNECT_REDIRECTS");
    std::ifstream file(path ? path : "");
    std::uint16_t from = 0;
    std::uint16_t to = 0;
    while (file >> from >> to)
        ports[from] = to;
    return ports;
}

// Read when the library is loaded, because connections are opened on the small stacks of fibers.
const PortMap redirects = readPorts();

} // namespace

extern "C" int connect(int descriptor, const sockaddr* address, socklen_t length)
{
    static const auto original = reinterpret_cast<decltype(&::connect)>(::dlsym(RTLD_NEXT, "connect"));
    if (address->sa_family == AF_INET && length >= sizeof(sockaddr_in)) {
        sockaddr_in changed = *reinterpret_cast<const sockaddr_in*>(address);
        const auto found = redirects.find(ntohs(changed.sin_port));
        if (found != redirects.end() && ntohl(changed.sin_addr.s_addr) == INADDR_LOOPBACK) {
            changed.sin_port = htons(found->second);
            return original(descriptor, reinterpret_cast<const sockaddr*>(&changed), sizeof(changed));
        }
    }
    return original(descriptor, address, length);
}
