#include "address.h"

#include <charconv>
#include <string>

namespace dragonflysill::internal {

std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(std::string(address.substr(0, colon)), ec);
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (ec || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(ip, port);
}

} // namespace dragonflysill::internal
