#include "peer.h"

#include <atomic>
#include <criterion/criterion.h>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <future>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <thread>
#include <unistd.h>

using namespace quetzalpaddle;

namespace {

using ForwardResult = std::variant<peer::ForwardReply, PeerError>;

const Executor RunInline = [](const std::function<void()> &Run) { Run(); };

ListenSettings makePlainTextSettings() {
  ListenSettings Listen;
  Listen.m_IsPlainText = true;
  return Listen;
}

// Answers each request with its group as the message; requests for the group "hold" stay
// unanswered.
struct Service {
  std::atomic<int> m_CallCount{0};
  std::vector<PeerReplyCallback<peer::ForwardReply>> m_HeldReplies;

  PeerService makeHandlers() {
    PeerService Handlers;
    Handlers.m_Forward = [this](const peer::ForwardRequest &Request,
                                const PeerReplyCallback<peer::ForwardReply> &Reply) {
      ++m_CallCount;
      peer::ForwardReply Answer;
      Answer.set_message(Request.group());
      if (Request.group() == "hold")
        m_HeldReplies.push_back(Reply);
      else
        Reply(Answer);
    };
    return Handlers;
  }
};

std::shared_ptr<PeerServer> startServer(const ListenSettings &Listen, Service &Handler) {
  auto Server = startPeerServer(Listen, "secret", RunInline, Handler.makeHandlers());
  if (auto *Error = std::get_if<std::string>(&Server))
    cr_assert_fail("%s", Error->c_str());
  return std::get<0>(Server);
}

std::future<ForwardResult> startForward(PeerLinks &Links, uint16_t Port, const std::string &Group,
                                        Duration Timeout = Millis(2000)) {
  auto Result = std::make_shared<std::promise<ForwardResult>>();
  peer::ForwardRequest Request;
  Request.set_group(Group);
  callForward(Links, "127.0.0.1:" + std::to_string(Port), Request, Timeout,
              [Result](const ForwardResult &Outcome) { Result->set_value(Outcome); });
  return Result->get_future();
}

bool isError(const ForwardResult &Result, PeerError Error) {
  return Result.index() == 1 && std::get<1>(Result) == Error;
}

bool isAnswer(const ForwardResult &Result, const std::string &Message) {
  return Result.index() == 0 && std::get<0>(Result).message() == Message;
}

// Writes a key and a self-signed certificate for 127.0.0.1, which is also the authority; returns
// the settings with their paths.
ListenSettings writeCertificate(const std::filesystem::path &Directory) {
  EVP_PKEY *Key = EVP_EC_gen("P-256");
  X509 *Certificate = X509_new();
  X509_set_version(Certificate, 2);
  ASN1_INTEGER_set(X509_get_serialNumber(Certificate), std::random_device{}() & 0xffffff);
  X509_gmtime_adj(X509_getm_notBefore(Certificate), -60);
  X509_gmtime_adj(X509_getm_notAfter(Certificate), 3600);
  X509_set_pubkey(Certificate, Key);
  X509_NAME *Name = X509_get_subject_name(Certificate);
  X509_NAME_add_entry_by_txt(Name, "CN", MBSTRING_ASC,
                             reinterpret_cast<const unsigned char *>("host"), -1, -1, 0);
  X509_set_issuer_name(Certificate, Name);
  for (auto [Kind, Text] : {std::pair{NID_subject_alt_name, "IP:127.0.0.1"},
                            std::pair{NID_basic_constraints, "critical,CA:TRUE"}}) {
    X509_EXTENSION *Extension = X509V3_EXT_conf_nid(nullptr, nullptr, Kind, Text);
    X509_add_ext(Certificate, Extension, -1);
    X509_EXTENSION_free(Extension);
  }
  X509_sign(Certificate, Key, EVP_sha256());
  ListenSettings Listen;
  Listen.m_KeyFile = Directory / "key.pem";
  Listen.m_CertificateFile = Listen.m_AuthorityFile = Directory / "certificate.pem";
  FILE *File = std::fopen(Listen.m_KeyFile.c_str(), "w");
  PEM_write_PrivateKey(File, Key, nullptr, nullptr, 0, nullptr, nullptr);
  (void)std::fclose(File);
  File = std::fopen(Listen.m_CertificateFile.c_str(), "w");
  PEM_write_X509(File, Certificate);
  (void)std::fclose(File);
  X509_free(Certificate);
  EVP_PKEY_free(Key);
  return Listen;
}

std::filesystem::path makeDirectory() {
  std::string Name = (std::filesystem::temp_directory_path() / "peer_test_XXXXXX").string();
  cr_assert(mkdtemp(Name.data()));
  return Name;
}

} // namespace

// Guards against requests that are lost, answered with the reply to another, or accepted from a
// host without the secret.
Test(peer, answersOnlyWithTheSecret) {
  Service Handler;
  auto Server = startServer(makePlainTextSettings(), Handler);
  auto Links = openPeerLinks(makePlainTextSettings(), "secret", RunInline);
  std::vector<std::future<ForwardResult>> Results;
  Results.reserve(50);
  for (int Index = 0; Index < 50; ++Index)
    Results.push_back(startForward(*Links, getPeerPort(*Server), std::to_string(Index)));
  for (int Index = 0; Index < 50; ++Index)
    cr_assert(isAnswer(Results[Index].get(), std::to_string(Index)));
  for (const char *Secret : {"", "secre", "secret2"}) {
    auto WrongLinks = openPeerLinks(makePlainTextSettings(), Secret, RunInline);
    auto Result = startForward(*WrongLinks, getPeerPort(*Server), "x").get();
    cr_assert(isError(Result, PeerError::NotSent), "must be refused before the handler runs");
  }
  cr_assert_eq(Handler.m_CallCount.load(), 50);
}

// Guards against NotSent for a request that may have run: it would be retried and run a write
// twice.
Test(peer, unsentAndUnansweredAreDistinguished) {
  Service Handler;
  auto Server = startServer(makePlainTextSettings(), Handler);
  uint16_t Port = getPeerPort(*Server);
  auto Links = openPeerLinks(makePlainTextSettings(), "secret", RunInline);
  // Connect first, so that the short timeout below covers the call only.
  cr_assert(isAnswer(startForward(*Links, Port, "a").get(), "a"));
  cr_assert(isError(startForward(*Links, Port, "hold", Millis(500)).get(), PeerError::Unanswered));
  auto PendingResult = startForward(*Links, Port, "hold");
  while (Handler.m_CallCount < 3)
    std::this_thread::yield();
  Server.reset();
  cr_assert(isError(PendingResult.get(), PeerError::Unanswered),
            "the server stopped after the request began");
  for (auto &Reply : Handler.m_HeldReplies)
    Reply({}); // a reply after the server stopped must not crash
  // The first call may begin before the client has read that the connection ends. gRPC then reports
  // UNAVAILABLE with "GOAWAY received", as it does for a call that was sent, so it is unanswered.
  ForwardResult FirstResult = startForward(*Links, Port, "x").get();
  cr_assert(isError(FirstResult, PeerError::NotSent) ||
            isError(FirstResult, PeerError::Unanswered));
  for (int N = 0; N < 20; ++N)
    cr_assert(isError(startForward(*Links, Port, "x").get(), PeerError::NotSent), "port closed");
  cr_assert_eq(Handler.m_CallCount.load(), 3);
}

// Guards against a host that stays unreachable for seconds after its restart, and against a second
// process that can listen on a port in use.
Test(peer, reconnectsSoonAfterARestart) {
  Service Handler;
  auto Server = startServer(makePlainTextSettings(), Handler);
  ListenSettings Listen = makePlainTextSettings();
  Listen.m_Port = getPeerPort(*Server);
  cr_assert(std::holds_alternative<std::string>(startPeerServer(Listen, "", RunInline, {})));
  auto Links = openPeerLinks(makePlainTextSettings(), "secret", RunInline);
  cr_assert(isAnswer(startForward(*Links, Listen.m_Port, "a").get(), "a"));
  Server.reset();
  for (int N = 0; N < 20; ++N) {
    startForward(*Links, Listen.m_Port, "x").get();
    std::this_thread::sleep_for(Millis(20));
  }
  Server = startServer(Listen, Handler);
  TimePoint StartedAt = Clock::now();
  while (!isAnswer(startForward(*Links, Listen.m_Port, "b").get(), "b")) {
    cr_assert(Clock::now() - StartedAt < Millis(1000));
    std::this_thread::sleep_for(Millis(5));
  }
  std::printf(
      "reconnected after %lld ms\n",
      static_cast<long long>(std::chrono::duration_cast<Millis>(Clock::now() - StartedAt).count()));
}

// Guards against connections without a certificate of the authority, and against certificates that
// stay in use until a restart although their files have been replaced.
Test(peer, tlsFilesAreReloaded) {
  auto Directory = makeDirectory();
  auto OtherDirectory = makeDirectory();
  ListenSettings Listen = writeCertificate(Directory);
  ListenSettings OtherListen = writeCertificate(OtherDirectory);
  Service Handler;
  auto Server = startServer(Listen, Handler);
  uint16_t Port = getPeerPort(*Server);
  auto IsAnswered = [&](const ListenSettings &Settings) {
    auto Links = openPeerLinks(Settings, "secret", RunInline);
    return isAnswer(startForward(*Links, Port, "a").get(), "a");
  };
  cr_assert(IsAnswered(Listen));
  cr_assert(!IsAnswered(OtherListen));
  cr_assert(!IsAnswered(makePlainTextSettings()));
  for (const char *Name : {"key.pem", "certificate.pem"})
    std::filesystem::copy_file(OtherDirectory / Name, Directory / Name,
                               std::filesystem::copy_options::overwrite_existing);
  TimePoint StartedAt = Clock::now();
  while (!IsAnswered(OtherListen)) {
    cr_assert(Clock::now() - StartedAt < std::chrono::seconds(10));
    std::this_thread::sleep_for(Millis(100));
  }
  std::printf(
      "new certificate in use after %lld ms\n",
      static_cast<long long>(std::chrono::duration_cast<Millis>(Clock::now() - StartedAt).count()));
  Listen.m_KeyFile = Directory / "missing.pem";
  cr_assert(std::holds_alternative<std::string>(startPeerServer(Listen, "", RunInline, {})));
  std::filesystem::remove_all(Directory);
  std::filesystem::remove_all(OtherDirectory);
}
