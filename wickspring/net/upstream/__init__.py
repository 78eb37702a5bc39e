"""Connections to servers, in HTTP/1.1 and HTTP/2, and the exchanges that they carry."""
