#ifndef SRC_NET_OPEN_ACCEPTOR_H_
#define SRC_NET_OPEN_ACCEPTOR_H_

#include <boost/asio/ip/tcp.hpp>

#include "src/core/result.h"
#include "src/core/settings_values.h"

namespace marigold {

// Opens a TCP acceptor, binds it to `endpoint` and listens. Fails with
// `IoError`.
Result<void> OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                          const Endpoint& endpoint);

}  // namespace marigold

#endif  // SRC_NET_OPEN_ACCEPTOR_H_
