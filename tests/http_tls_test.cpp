#include "http_front.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <filesystem>
#include <memory>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace quetzalpaddle;

namespace {

// Writes a self-signed certificate and its key; returns the paths in settings.
ListenSettings writeCertificate(const std::string &Directory, const char *Name) {
  std::filesystem::create_directories(Directory);
  ListenSettings Listen;
  Listen.m_CertificateFile = Directory + "/certificate.pem";
  Listen.m_KeyFile = Directory + "/key.pem";
  std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> Key(EVP_EC_gen("P-256"), EVP_PKEY_free);
  std::unique_ptr<X509, decltype(&X509_free)> Certificate(X509_new(), X509_free);
  ASN1_INTEGER_set(X509_get_serialNumber(Certificate.get()), 1);
  X509_gmtime_adj(X509_getm_notBefore(Certificate.get()), 0);
  X509_gmtime_adj(X509_getm_notAfter(Certificate.get()), 3600);
  X509_set_pubkey(Certificate.get(), Key.get());
  X509_NAME *Subject = X509_get_subject_name(Certificate.get());
  X509_NAME_add_entry_by_txt(Subject, "CN", MBSTRING_ASC,
                             reinterpret_cast<const unsigned char *>(Name), -1, -1, 0);
  X509_set_issuer_name(Certificate.get(), Subject);
  X509_sign(Certificate.get(), Key.get(), EVP_sha256());
  FILE *File = std::fopen(Listen.m_CertificateFile.c_str(), "w");
  PEM_write_X509(File, Certificate.get());
  std::fclose(File);
  File = std::fopen(Listen.m_KeyFile.c_str(), "w");
  PEM_write_PrivateKey(File, Key.get(), nullptr, nullptr, 0, nullptr, nullptr);
  std::fclose(File);
  return Listen;
}

struct TlsReply {
  std::string m_Subject; // common name in the server's certificate
  std::string m_Text;
};

// Sends one request over TLS and reads until the server closes the connection.
TlsReply askOverTls(uint16_t Port, const std::string &Request) {
  int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  timeval Timeout{5, 0};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof Timeout);
  cr_assert(connect(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address) == 0);
  std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> Context(SSL_CTX_new(TLS_client_method()),
                                                            SSL_CTX_free);
  std::unique_ptr<SSL, decltype(&SSL_free)> Connection(SSL_new(Context.get()), SSL_free);
  SSL_set_fd(Connection.get(), Socket);
  TlsReply Reply;
  if (SSL_connect(Connection.get()) == 1) {
    X509 *Peer = SSL_get0_peer_certificate(Connection.get());
    std::array<char, 64> Name{};
    X509_NAME_get_text_by_NID(X509_get_subject_name(Peer), NID_commonName, Name.data(),
                              Name.size());
    Reply.m_Subject = Name.data();
    SSL_write(Connection.get(), Request.data(), static_cast<int>(Request.size()));
    std::array<char, 4096> Buffer{};
    for (int ReadCount = 0;
         (ReadCount = SSL_read(Connection.get(), Buffer.data(), Buffer.size())) > 0;)
      Reply.m_Text.append(Buffer.data(), ReadCount);
  }
  close(Socket);
  return Reply;
}

const std::string Request = "POST /v1/routes/r/read HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                            "Content-Length: 53\r\n\r\n"
                            R"({"statements":[{"op":"get","table":"t","key":"abc"}]})";

} // namespace

// Guards against a TLS listener that does not answer, that keeps old certificates after a reload,
// or that loses the old ones when the new files are damaged.
Test(httpTls, certificatesAreReloaded) {
  std::string Directory =
      std::filesystem::temp_directory_path() / ("http_tls_test." + std::to_string(getpid()));
  ListenSettings Listen = writeCertificate(Directory, "first");
  auto OpenResult = openHttpFront(
      Listen, {},
      [](const CallerRequest &Received, const std::function<void(CallerAnswer)> &Done) {
        CallerAnswer Answer;
        Answer.m_Class = AnswerClass::Done;
        Answer.m_Message = Received.m_Statements.at(0).key();
        Done(Answer);
      },
      nullptr);
  auto Front = std::get<std::shared_ptr<HttpFront>>(OpenResult);
  TlsReply Reply = askOverTls(getFrontPort(*Front), Request);
  cr_assert(Reply.m_Subject == "first" && Reply.m_Text.find("200 OK") != std::string::npos);
  writeCertificate(Directory, "second");
  cr_assert(!reloadCertificates(*Front));
  cr_assert(askOverTls(getFrontPort(*Front), Request).m_Subject == "second");
  std::filesystem::resize_file(Listen.m_KeyFile, 10);
  cr_assert(reloadCertificates(*Front).has_value());
  Reply = askOverTls(getFrontPort(*Front), Request);
  cr_assert(Reply.m_Subject == "second" && Reply.m_Text.find("abc") != std::string::npos);
  std::filesystem::remove_all(Directory);
}

// Guards against a start that succeeds without usable certificates or on a port in use.
Test(httpTls, startErrorsAreReported) {
  ListenSettings Listen;
  Listen.m_CertificateFile = "/nonexistent/certificate.pem";
  auto MissingFile = openHttpFront(Listen, {}, nullptr, nullptr);
  cr_assert(std::holds_alternative<std::string>(MissingFile));
  cr_assert(std::get<std::string>(MissingFile).find("certificate.pem") != std::string::npos);
  Listen.m_IsPlainText = true;
  auto FirstFront =
      std::get<std::shared_ptr<HttpFront>>(openHttpFront(Listen, {}, nullptr, nullptr));
  Listen.m_Port = getFrontPort(*FirstFront);
  cr_assert(std::holds_alternative<std::string>(openHttpFront(Listen, {}, nullptr, nullptr)));
}
