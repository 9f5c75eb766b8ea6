// Client of the platform's object API (proto/platform.proto). Handlers are called through the
// Executor passed to openPlatform().
#pragma once

#include "instance_client.h"
#include "platform.pb.h"

namespace quetzalpaddle {

enum class PlatformError {
  Unavailable, // not sent, or rejected as invalid: a write has not taken effect
  Unanswered,  // no answer: a write may have taken effect
};

// Connections to the platform's addresses. No handler is called after it is released.
struct PlatformClient;

std::shared_ptr<PlatformClient> openPlatform(const std::vector<std::string> &Addresses,
                                             const std::string &Host, Duration Timeout,
                                             Executor Run);

template <class T> using PlatformHandler = std::function<void(std::variant<T, PlatformError>)>;

void getObject(PlatformClient &Client, const std::string &Name,
               PlatformHandler<platform::Object> Callback);
void listObjects(PlatformClient &Client, const std::string &Prefix,
                 PlatformHandler<platform::ListReply> Callback);
// Lists the objects of several prefixes at the same revision.
void listObjects(PlatformClient &Client, const std::vector<std::string> &Prefixes,
                 PlatformHandler<platform::ListReply> Callback);
void putObject(PlatformClient &Client, const std::string &Name, const std::string &Value,
               uint64_t ExpectedVersion, PlatformHandler<platform::WriteReply> Callback);
void deleteObject(PlatformClient &Client, const std::string &Name, uint64_t ExpectedVersion,
                  PlatformHandler<platform::WriteReply> Callback);
void listPlatformHosts(PlatformClient &Client, PlatformHandler<platform::HostsReply> Callback);

struct PlatformWatch; // releasing it ends the watch

// Watches the objects of a prefix. OnEvent is called for each event. An error ends the watch; the
// caller has to open a new one.
std::shared_ptr<PlatformWatch> watchObjects(PlatformClient &Client, const std::string &Prefix,
                                            uint64_t FromRevision,
                                            PlatformHandler<platform::WatchEvent> OnEvent);
// Watches several prefixes. Events of all of them arrive in the order of their revisions.
std::shared_ptr<PlatformWatch> watchObjects(PlatformClient &Client,
                                            const std::vector<std::string> &Prefixes,
                                            uint64_t FromRevision,
                                            PlatformHandler<platform::WatchEvent> OnEvent);

} // namespace quetzalpaddle
