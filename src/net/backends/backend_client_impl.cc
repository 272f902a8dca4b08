#include "src/net/backends/backend_client_impl.h"

#include <algorithm>

#include "src/core/checksum.h"
#include "src/wire/platform_list_json.h"

namespace marigold {

BackendClient::Impl::PoolPtr BackendClient::Impl::FindOrAddPool(
    ServerIndex server) {
  if (PoolPtr found = this->FindPool(server)) {
    return found;
  }
  const auto record = this->table.Record(server);
  return record ? this->AddPool(server, record->endpoint) : nullptr;
}

BackendClient::Impl::PoolPtr BackendClient::Impl::FindPool(
    ServerIndex server) const {
  const RankedLock lock(this->mutex);
  const auto position = this->pools.find(server);
  return position == this->pools.end() ? nullptr : position->second;
}

BackendClient::Impl::PoolPtr BackendClient::Impl::AddPool(
    ServerIndex server,
    const Endpoint& endpoint) {
  auto added = std::make_shared<BackendPool>(this->workers, endpoint,
                                             this->settings.pools,
                                             this->MakePoolEvents(server));
  const RankedLock lock(this->mutex);
  return this->pools.try_emplace(server, std::move(added)).first->second;
}

BackendClient::Impl::PoolPtr BackendClient::Impl::TakePool(ServerIndex server) {
  const RankedLock lock(this->mutex);
  auto node = this->pools.extract(server);
  return node.empty() ? nullptr : std::move(node.mapped());
}

BackendPoolEvents BackendClient::Impl::MakePoolEvents(ServerIndex server) {
  BackendPoolEvents events;
  const std::weak_ptr<Impl> weak = this->weak_from_this();
  events.on_status = [weak, server](const HttpResponse& response) {
    if (const auto self = weak.lock()) {
      self->OnStatus(server, response);
    }
  };
  events.on_unreachable = [weak, server] {
    if (const auto self = weak.lock()) {
      self->table.OnUnreachable(self->clock.Now(), server);
    }
  };
  events.on_restarted = [weak, server] {
    if (const auto self = weak.lock()) {
      self->table.OnRestarted(self->clock.Now(), server);
    }
  };
  return events;
}

void BackendClient::Impl::OnStatus(ServerIndex server,
                                   const HttpResponse& response) {
  const auto report = DecodeStatusReply(response);
  if (!report) {
    return;
  }
  this->table.UpdateStatus(this->clock.Now(), server, *report);
  if (const PoolPtr server_pool = this->FindPool(server)) {
    if (report->load.state == ServerState::kDraining) {
      server_pool->SetMode(PoolMode::kWatching);
    }
    const std::uint32_t connection_share =
        std::max(report->connection_limit / this->settings.entry_vms, 1U);
    server_pool->SetConnectionLimit(connection_share);
    this->table.UpdateConnectionPart(server, connection_share);
  }
}

PlatformVmListResult BackendClient::Impl::DecodeListIfChanged(
    const HttpResponse& response) {
  const std::uint64_t checksum = Checksum(response.body);
  if (checksum == this->last_list_checksum) {
    return {true, std::nullopt};
  }
  auto decoded = Capture<PlatformVmList>(
      [&] { return DecodePlatformList(response.body); });
  auto* list = std::get_if<PlatformVmList>(&decoded);
  if (list == nullptr) {
    return {};
  }
  this->last_list_checksum = checksum;
  return {true, std::move(*list)};
}

}  // namespace marigold
