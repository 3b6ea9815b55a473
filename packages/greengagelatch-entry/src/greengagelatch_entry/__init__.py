"""The greengagelatch daemon: filters, controllers, adapters, composition root."""
