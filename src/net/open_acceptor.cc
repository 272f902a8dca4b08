#include "src/net/open_acceptor.h"

namespace marigold {

namespace asio = boost::asio;
using asio::ip::tcp;

Result<void> OpenAcceptor(tcp::acceptor& acceptor, const Endpoint& endpoint) {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(endpoint.address, error);
  if (!error) {
    acceptor.open(tcp::v4(), error);
  }
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind({address, endpoint.port}, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return boost::leaf::new_error(
        IoError{"listen", ToString(endpoint), error.value()});
  }
  return {};
}

}  // namespace marigold
